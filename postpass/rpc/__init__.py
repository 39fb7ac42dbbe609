"""Links between postpass's own processes: framing, connections and the types of the IDL."""
