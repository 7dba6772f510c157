^\+/.*/node[0-9]+\.err:[0-9]+: revision: OWNERSHIP_WAITS with revision 0 after [0-9]+ \(/.*/node[0-9]+\.err:[0-9]+\)$
^-0 violations$
^\+1 violations$
