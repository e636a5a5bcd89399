//! Script hosts: the line protocol that they speak, and the pool of connections to them.

mod idle_limit;
pub mod lines;
mod pool;
mod probe_delay;
mod start_times;

pub use pool::{Call, HostPool, PoolEvent, ProcessEpoch, SendLimits};
pub use start_times::StartTimes;
