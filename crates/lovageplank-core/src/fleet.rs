//! Serving a deployment whose backend servers announce themselves and whose callers connect to
//! entry instances by addresses that they were told.
//!
//! | module | decides |
//! | --- | --- |
//! | [`document`] | which version of the operator's document is in force |
//! | [`registry`] | which backend servers exist, by their announcements |
//! | [`deployment`] | which route a request takes, to which service |
//! | [`selection`] | which backend server gets a request |
//! | [`dispatch`] | whether a request is sent now, waits or is refused |
//! | [`bootstrap`] | who the first members of the control group are |
//! | [`group`] | who is in the control group |
//! | [`directory`] | which entry instances there are |
//! | [`placement`] | which engine loads and unloads which model and adapter |
//! | [`retry_budget`] | how many repeats a service may get, over all instances |
//! | [`message`] | what the instances tell each other about all this |

pub mod bootstrap;
pub mod deployment;
pub mod directory;
pub mod dispatch;
pub mod document;
pub mod group;
pub mod message;
pub mod placement;
pub mod registry;
pub mod retry_budget;
pub mod selection;
