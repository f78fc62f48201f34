"""The same decisions on the text protocol of the simulator: codec, and a program on standard streams."""
