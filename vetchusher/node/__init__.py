"""The program: command line, network between processes, HTTP API, and assembly of edge and control nodes."""
