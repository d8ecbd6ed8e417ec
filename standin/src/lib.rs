//! Stand-ins for what ibisweir works with, and the experiments that measure it; never shipped.

pub mod fleet;
pub mod jobs;
pub mod load;
pub mod measure;
pub mod platform;
pub mod quickstart;
pub mod site;
pub mod soak;
pub mod worker;
