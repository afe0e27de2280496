#include "process/inifile.h"

#include <algorithm>
#include <cstring>

#include <ini.h>

namespace cassiaroad {

namespace {

std::string trimmed(const std::string &text)
{
    const char *blanks = " \t\r\n";
    const std::size_t first = text.find_first_not_of(blanks);
    if (first == std::string::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

/**
 * Passes the lines to inih one at a time and counts them, because inih does not pass the line
 * number to its handler and returns only the number of the first invalid line.
 */
class LineReader
{
public:
    LineReader(const std::string &text, std::vector<IniSection> &sections,
               std::vector<IniError> &syntaxErrors)
        : text(text)
        , sections(sections)
        , syntaxErrors(syntaxErrors)
    { }

    /** Copies the next line, or the next part of one longer than the buffer. */
    char *next(char *buffer, int size)
    {
        if (this->position >= this->text.size()) {
            this->endLine();
            return nullptr;
        }
        if (this->position == 0 || this->text[this->position - 1] == '\n') {
            this->endLine();
            this->beginLine();
        }
        const std::size_t end = this->text.find('\n', this->position);
        const std::size_t restOfLine
                = (end == std::string::npos ? this->text.size() : end + 1) - this->position;
        const std::size_t length = std::min(restOfLine, static_cast<std::size_t>(size) - 1);
        std::memcpy(buffer, this->text.data() + this->position, length);
        buffer[length] = '\0';
        this->position += length;
        return buffer;
    }

    void addEntry(const char *key, const char *value)
    {
        this->expectsEntry = false;
        if (this->sections.empty()) {
            this->syntaxErrors.push_back({ this->line, this->lineText });
            return;
        }
        this->sections.back().entries.push_back({ key, value, this->line });
    }

private:
    void beginLine()
    {
        ++this->line;
        const std::size_t end = this->text.find('\n', this->position);
        this->lineText = trimmed(this->text.substr(this->position, end - this->position));
        if (this->lineText.empty() || this->lineText[0] == ';' || this->lineText[0] == '#') {
            return;
        }
        const std::size_t closingBracket = this->lineText.find(']');
        if (this->lineText[0] == '[' && closingBracket != std::string::npos) {
            this->sections.push_back(
                    { this->lineText.substr(1, closingBracket - 1), this->line, {} });
            return;
        }
        this->expectsEntry = true;
    }

    void endLine()
    {
        if (this->expectsEntry) {
            this->syntaxErrors.push_back({ this->line, this->lineText });
        }
        this->expectsEntry = false;
    }

    const std::string &text;
    std::vector<IniSection> &sections;
    std::vector<IniError> &syntaxErrors;
    std::size_t position = 0;
    int line = 0;
    std::string lineText;
    bool expectsEntry = false; // the line is neither blank, a comment nor a section
};

char *readLine(char *buffer, int size, void *stream)
{
    return static_cast<LineReader *>(stream)->next(buffer, size);
}

int addEntry(void *user, const char *section, const char *key, const char *value)
{
    static_cast<void>(section);
    static_cast<LineReader *>(user)->addEntry(key, value);
    return 1;
}

// Debian's inih is configured at run time. A list of gateways is longer than the default limit of
// 200 bytes per line, and a value must not continue on the next line unnoticed.
const bool inihConfigured = [] {
    ini_use_stack = false;
    ini_max_line = 64 * 1024;
    ini_allow_realloc = true;
    ini_allow_multiline = false;
    return true;
}();

} // namespace

IniFile::IniFile(const std::string &text)
{
    static_cast<void>(inihConfigured);
    LineReader reader(text, this->sectionList, this->syntaxErrorList);
    ini_parse_stream(&readLine, &reader, &addEntry, &reader);
}

} // namespace cassiaroad
