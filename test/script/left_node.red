^[-+].*: begun late [0-9]+(, some begun)?$
