//! Decisions for a deployment whose backend servers announce themselves and whose callers connect
//! to routers by the addresses that they are given.
//!
//! A *router* accepts callers' requests and sends them to backend servers. A *control process*
//! stores the operator's document and tracks the backend servers; the leader among the control
//! processes also plans which models are loaded. An *engine* is a backend server that runs models.
//!
//! | module | subject |
//! | --- | --- |
//! | [`document`] | which version of the operator's document is in force |
//! | [`registry`] | which backend servers exist, from their announcements |
//! | [`deployment`] | which route a request takes, and to which service |
//! | [`selection`] | which backend server a request is sent to |
//! | [`dispatch`] | whether a request is sent now, waits or is refused |
//! | [`bootstrap`] | how the initial voters form the control group |
//! | [`group`] | how the membership of the control group changes |
//! | [`directory`] | which routers exist |
//! | [`placement`] | which engine loads and unloads which model and adapter |
//! | [`retry_budget`] | how many retries a service gets from all instances together |
//! | [`message`] | the messages between control processes and routers |

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
