//! Stand-ins for engines, plain services and the weight store, and a load driver.
