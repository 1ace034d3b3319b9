//! What a router knows: settings, backend servers and replicas.
