"""Tables of measured figures, which are printed and written as CSV and Markdown."""
import csv
import os


class Table:
    """A table; each row is a list with a value for each column."""

    def __init__(self, name, title, columns):
        self.name = name  # of the CSV file
        self.title = title
        self.columns = columns
        self.rows = []

    def add(self, *values):
        """Adds a row. Raises ValueError if it does not have a value for each column."""
        if len(values) != len(self.columns):
            raise ValueError("%s: %d values for %d columns"
                             % (self.name, len(values), len(self.columns)))
        self.rows.append(list(values))

    def add_failure(self, figure, error):
        """Adds a row for a figure that could not be measured, with the reason in the last
        column."""
        reason = "not measured: %s: %s" % (type(error).__name__, error)
        self.add(figure, *[""] * (len(self.columns) - 2), reason)

    def print(self):
        texts = [[text_of(value) for value in row] for row in [self.columns] + self.rows]
        widths = [max(len(row[column]) for row in texts) for column in range(len(self.columns))]
        print("\n%s" % self.title)
        for row in texts:
            print("  ".join(text.ljust(width) for text, width in zip(row, widths)).rstrip())

    def write(self, folder):
        """Writes the table as a CSV file."""
        with open(os.path.join(folder, self.name + ".csv"), "w", newline="") as stream:
            writer = csv.writer(stream, lineterminator="\n")
            writer.writerow(self.columns)
            writer.writerows([text_of(value) for value in row] for row in self.rows)

    def markdown(self):
        """The table as Markdown, with its title as a heading."""
        rows = [self.columns, ["---"] * len(self.columns)] + self.rows
        lines = ["| %s |" % " | ".join(text_of(value) for value in row) for row in rows]
        return "### %s\n\n%s\n" % (self.title, "\n".join(lines))


def text_of(value):
    """Text of a value; numbers are rounded to four significant digits, or to integers from 1000."""
    if isinstance(value, float):
        return "%.0f" % value if abs(value) >= 1000 else "%.4g" % value
    return str(value)


def quantile(values, share):
    """Smallest value that at least `share` of the values do not exceed. Precondition: not empty."""
    ordered = sorted(values)
    return ordered[max(0, -int(-share * len(ordered) // 1) - 1)]
