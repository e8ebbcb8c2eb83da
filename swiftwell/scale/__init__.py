"""Scale runs: the shipped code with hollow ends, measured at sizes up to the target; sits beside `lab`."""
