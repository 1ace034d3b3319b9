//! Checksummed log and snapshots under one data folder.
