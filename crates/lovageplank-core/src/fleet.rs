//! Decisions of routers and control processes in a deployment whose backend servers announce
//! themselves. Routers also give callers, on request, the addresses of the routers that accept new
//! callers.
//!
//! - A *router* accepts callers' requests and sends them to backend servers.
//! - A *control process* stores the operator's document and tracks the backend servers. The control
//!   processes form the *control group*, which replicates one log by consensus; its leader also
//!   plans which models are loaded.
//! - A *link* is a connection between two of these processes.
//! - An *engine* is a backend server that runs models.
//! - The *weight store* contains the weights of all models, and all engines share it. An engine
//!   loads from it the weights that its host has not cached.
//! - The *document* is the operator's versioned configuration: routes, services and limits. The
//!   version *in force* is the one that is applied now.
//!
//! | module | subject |
//! | --- | --- |
//! | [`addresses`] | which control processes a router dials |
//! | [`document`] | which version of the operator's document is in force |
//! | [`patch`] | what changes from one version of the document to the next |
//! | [`spread`] | which routers get the document when, and from which control process |
//! | [`outbox`] | what all routers are told together, and when |
//! | [`pace`] | how much of something may begin at a time |
//! | [`reach`] | whether a router reaches servers at all |
//! | [`readmission`] | servers that are taken for gone, and announce themselves again and again |
//! | [`registry`] | which backend servers exist, from their announcements |
//! | [`deployment`] | which route a request takes, and to which service |
//! | [`request`] | what a request needs from a server, and how urgent it is |
//! | [`tenant`] | who sends a request, and how much it may send |
//! | [`urgency`] | which level of urgency engines are told for a rank |
//! | [`revocation`] | whether a router may rely on the keys that it knows |
//! | [`selection`] | which backend server a request is sent to |
//! | [`speed`] | how fast each backend server works |
//! | [`admission`] | who waits and who is refused while capacity is short |
//! | [`dispatch`] | whether a request is sent now, waits or is refused |
//! | [`bootstrap`] | how the initial voters form the control group |
//! | [`group`] | how the membership of the control group changes |
//! | [`directory`] | which routers exist |
//! | [`subset`] | which routers a caller is told of |
//! | [`placement`] | which engine loads and unloads which model and adapter |
//! | [`store`] | which loads from the weight store are in progress, over changes of the leader |
//! | [`sizes`] | what models take that engines loaded by an earlier document |
//! | [`permit`] | how the leader divides a limit over all routers among them |
//! | [`retry_budget`] | how many retries all routers together send to a service |
//! | [`server_limit`] | how many requests a server takes from all routers together |
//! | [`totals`] | how many requests all routers have at each server, as the leader tells them |
//! | [`brittle`] | which servers end when they have to reject too many requests |
//! | [`place`] | how many requests all routers together have at a brittle server |
//! | `statement` | what servers state for all routers together |
//! | [`origin`] | at which version of its software each stream began |
//! | [`quarantine`] | which requests are held because servers end under them |
//! | [`quota`] | how much a tenant may send to all routers together |
//! | [`bundle`] | messages that are sent together and compressed |
//! | [`message`] | the messages between control processes and routers |

pub mod addresses;
pub mod admission;
pub mod bootstrap;
pub mod brittle;
pub mod bundle;
pub mod deployment;
pub mod directory;
pub mod dispatch;
pub mod document;
pub mod group;
pub mod message;
pub mod origin;
pub mod outbox;
pub mod pace;
pub mod patch;
pub mod pause;
pub mod permit;
pub mod place;
pub mod placement;
pub mod quarantine;
pub mod quota;
pub mod reach;
pub mod readmission;
pub mod registry;
pub mod request;
pub mod retry_budget;
pub mod revocation;
pub mod selection;
pub mod server_limit;
pub mod sizes;
pub mod speed;
pub mod spread;
mod statement;
pub mod store;
pub mod subset;
pub mod tenant;
pub mod totals;
pub mod urgency;
