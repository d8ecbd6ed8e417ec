//! The users' platform for jobs, as a stand-in: its log, its VMs and the workers on them, spoken to as
//! its published protocol says, with the faults that it is known for.

pub mod http;
pub mod ledger;
pub mod log;
pub mod organisation;
pub mod proxy;
pub mod site;
pub mod worker;
