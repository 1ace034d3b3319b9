//! Schedules loads on the weight store's rate and concurrency.
