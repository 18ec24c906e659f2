//! Framed TCP links between nodes with bounded queues and reconnection.
