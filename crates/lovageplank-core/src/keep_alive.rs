//! Decides how long an idle replica stays loaded.
