"""The program: command line, sockets between processes, the control door, and the parts put together."""
