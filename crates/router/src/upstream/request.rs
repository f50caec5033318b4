//! The fields of a request, with their names on the wire.

use crate::policy_adapter::{FillSpec, Ms};

use super::attempt::{AttemptOrder, FillPath, RequestMessage};
use super::codec::FieldList;

/// The fields of an attempt, but for the time that is left when it is written.
#[derive(Debug)]
pub(super) struct RequestFields {
    /// Until when the router waits for the reply.
    deadline: Ms,
    /// What is requested.
    object: FieldList,
    /// How it is served.
    options: FieldList,
}

impl RequestFields {
    /// The fields of an attempt that is given up at `deadline`. `source_name` is the name of the endpoint that it
    /// fills from, if any.
    pub fn new(
        deadline: Ms,
        order: &AttemptOrder,
        message: &RequestMessage,
        source_name: Option<&str>,
        fill_path: Option<&FillPath>,
    ) -> Self {
        let mut object = FieldList::default();
        object.push("kind", &message.class);
        object.push("obj", &message.object);
        object.push("seg", &message.part);
        Self { deadline, object, options: option_fields(order, message, source_name, fill_path) }
    }

    /// The fields of a request that is written now. Its deadline is at most the time that is left.
    pub fn at(self, now: Ms) -> FieldList {
        let mut fields = self.object;
        fields.push("ms", (self.deadline - now).ceil().max(1.0));
        fields.append(self.options);
        fields
    }
}

fn option_fields(
    order: &AttemptOrder,
    message: &RequestMessage,
    source_name: Option<&str>,
    fill_path: Option<&FillPath>,
) -> FieldList {
    let fill = &order.fill;
    let mut fields = FieldList::default();
    if let Some(source_name) = source_name {
        fields.push("parent", source_name);
        let hints = fill_hints(fill);
        if !hints.is_empty() {
            fields.push("hints", hints.join("+"));
        }
    }
    if fill.retention > 0 {
        fields.push("shelf", fill.retention);
    }
    if fill.max_age > 0.0 {
        // Rounded down, since a copy must not be older than the limit; at least 1, since 0 would accept any
        // fresh copy.
        fields.push("accept", fill.max_age.floor().max(1.0));
    }
    if let Some(key) = &message.idempotency_key {
        fields.push("token", key);
    }
    if let Some(tag) = &message.client_copy {
        fields.push("got", tag);
    }
    if let Some(path) = fill_path {
        fields.push("passed", &path.passed);
        if !path.via.is_empty() {
            fields.push("via", path.via.join("+"));
        }
    }
    fields
}

fn fill_hints(fill: &FillSpec) -> Vec<&'static str> {
    let hints = [(fill.coalesce, "j"), (fill.only_if_cached, "h"), (fill.revalidate, "r")];
    hints.into_iter().filter(|(is_set, _)| *is_set).map(|(_, hint)| hint).collect()
}
