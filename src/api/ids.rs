//! Times and numbers by which the module and its caller name things.

/// A span of time in microseconds.
pub type Micros = i64;
/// An instant on the caller's clock, in microseconds since a moment of the caller's choice.
pub type Timestamp = i64;
/// A client request, unique for the life of an instance.
pub type RequestId = u64;
/// The how-manieth attempt of a request, from 0, in the order in which
/// [`Action::Send`](crate::Action::Send) was issued.
pub type AttemptNo = u32;
/// An endpoint, numbered densely from 0 by the caller. The number stays its own until the instance,
/// told that the endpoint is gone, no longer knows it.
pub type EndpointId = usize;
/// Position of a class in [`Settings::classes`](crate::Settings::classes).
pub type ClassId = usize;
/// Position of a tenant in [`Settings::tenants`](crate::Settings::tenants).
pub type TenantId = usize;
/// A zone, numbered by the caller.
pub type ZoneId = usize;
/// A kind of machine, numbered by the caller; says only which endpoints are alike.
pub type KindId = usize;
