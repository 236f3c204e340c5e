//! Start times of instances, which order the runs of one instance.

use crate::number_id;

number_id!(
    /// One run of an instance: the Unix time in milliseconds at which its backend server started.
    InstanceRun
);
