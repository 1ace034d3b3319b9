//! Recovery of a data folder after crashes, damage and full disks.

mod crash;
mod damage;
mod faulty_storage;
mod full;
mod torn;
mod workload;
