//! Control daemon: consensus, placement, commands to engines, settings.
