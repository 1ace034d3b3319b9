//! Server selection, and the order of instances for a model.

mod fixture;
mod load;
mod ranks;
mod selection;
mod updates;
