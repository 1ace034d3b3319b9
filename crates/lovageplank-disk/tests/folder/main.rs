//! What a data folder brings back after crashes, damage and full disks.

mod crash;
mod damage;
mod faulty_storage;
mod full;
mod workload;
