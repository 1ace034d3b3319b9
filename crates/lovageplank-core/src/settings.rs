//! Settings tree: inheritance, validation, versions and history.
