//! Jobs: submitted by callers, stored in the log, scheduled on workers by the leader.
//!
//! Every entry accepts jobs. A bounded number of entries keeps a replica of the job log
//! ([`job_table`]) and answers from it; the others query these ([`query`]). One entry at a time is
//! the leader ([`leadership`]) and runs the [`crate::scheduler`] against the log, the workers and
//! the VMs ([`conductor`]). These external services are behind the traits of [`ports`].

pub mod attempts;
pub mod caller_service;
pub mod catch_up;
pub mod conductor;
pub mod confirm;
pub mod decision_log;
pub mod delegate;
pub mod entry;
pub mod flow;
pub mod follower;
pub mod job_table;
pub mod lanes;
pub mod leader_load;
pub mod leadership;
pub mod metrics;
pub mod model;
pub mod node;
pub mod ports;
pub mod query;
pub mod record;
pub mod relay;
pub mod site;
pub mod start_report;
pub mod status;
pub mod submitter;
pub mod timeout_estimator;
pub mod wave_reporter;
