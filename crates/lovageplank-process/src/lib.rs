//! What every lovageplank process shares: settings file, command line, logs, links.
