//! Backend servers as they announce themselves and report their load.
