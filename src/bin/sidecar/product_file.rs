//! The environment variables that name the product configuration.

/// Names the file of the product configuration.
pub const CONFIG_VARIABLE: &str = "LOAD_BALANCER_CONFIG";
/// The variable's earlier name, used if the other is not set.
pub const EARLIER_CONFIG_VARIABLE: &str = "LINENPROXY_CONFIG";
