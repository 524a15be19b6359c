"""The control state: epochs, primary, copies, witnesses, and the store on disk."""
