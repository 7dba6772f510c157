^[-+]field ': z': (refused|ran, 200)$
^[-+]field 'X: a%x00b': (refused|ran, 200)$
^[-+]a folded line: (refused|ran, 200)$
^[-+]a line feed alone: (refused|ran, 200)$
^[-+]a chunk of '2;': (refused|ran, 200)$
