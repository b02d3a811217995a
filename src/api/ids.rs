//! Units of time, and the numbers that identify requests, endpoints and their attributes.

/// A duration in microseconds.
pub type Micros = i64;
/// An instant on the caller's clock, in microseconds since an epoch that the caller chooses.
pub type Timestamp = i64;
/// A client request; unique within the lifetime of an instance.
pub type RequestId = u64;
/// Index of an attempt of a request, from 0, in the order of its
/// [`Action::Send`](crate::Action::Send) actions.
pub type AttemptIndex = u32;
/// An endpoint, numbered densely from 0 by the caller. An id may be reused once the endpoint has
/// been removed and the instance holds no state for it.
pub type EndpointId = usize;
/// Index of a class in [`Settings::classes`](crate::Settings::classes).
pub type ClassId = usize;
/// Index of a tenant in [`Settings::tenants`](crate::Settings::tenants).
pub type TenantId = usize;
/// A zone, numbered by the caller.
pub type ZoneId = usize;
/// A machine type, numbered by the caller; endpoints of one kind are expected to perform alike.
pub type KindId = usize;
