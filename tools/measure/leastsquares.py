"""Linear least squares with several terms, solved by the normal equations."""


def fit_costs(rows, values):
    """As fit(), for costs that cannot decrease with a term. Terms other than the first that would
    get a negative factor are left out, the most negative one first; their factors are 0."""
    used = list(range(len(rows[0])))
    while True:
        factors = fit([[row[term] for term in used] for row in rows], values)
        worst = min(range(1, len(used)), key=lambda at: factors[at], default=0)
        if worst == 0 or factors[worst] >= 0:
            found = dict(zip(used, factors))
            return [found.get(term, 0.0) for term in range(len(rows[0]))]
        del used[worst]


def fit(rows, values):
    """Coefficients c that minimise the sum of (row . c - value)^2. Raises ValueError if the rows
    do not determine them."""
    size = len(rows[0])
    system = [[sum(row[i] * row[j] for row in rows) for j in range(size)]
              + [sum(row[i] * value for row, value in zip(rows, values))] for i in range(size)]
    scale = max(abs(cell) for line in system for cell in line)
    for column in range(size):
        pivot = max(range(column, size), key=lambda line: abs(system[line][column]))
        if abs(system[pivot][column]) < 1e-12 * scale:
            raise ValueError("%d sizes do not determine %d terms" % (len(rows), size))
        system[column], system[pivot] = system[pivot], system[column]
        for line in range(size):
            if line != column:
                factor = system[line][column] / system[column][column]
                system[line] = [cell - factor * above
                                for cell, above in zip(system[line], system[column])]
    return [system[line][size] / system[line][line] for line in range(size)]
