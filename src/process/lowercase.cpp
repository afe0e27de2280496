#include "process/lowercase.h"

namespace cassiaroad {

std::string lowerCase(std::string_view text)
{
    std::string result(text);
    for (char &letter : result) {
        if (letter >= 'A' && letter <= 'Z') {
            letter = static_cast<char>(letter + ('a' - 'A'));
        }
    }
    return result;
}

} // namespace cassiaroad
