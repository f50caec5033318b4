//! The reference of all parameters, which `linnethook settings` prints.

use std::fmt::Write;

use crate::parameters::{self, Parameter};

/// The rows of a Markdown table: function, parameter, default with unit, range, description.
pub fn parameter_reference() -> String {
    let mut rows = String::new();
    write_rows(&mut rows, "hierarchy", parameters::hierarchy::PARAMETERS);
    write_rows(&mut rows, "gateway", parameters::gateway::PARAMETERS);
    write_rows(&mut rows, "fellows", parameters::cluster::PARAMETERS);
    write_rows(&mut rows, "audit", parameters::audit::PARAMETERS);
    write_rows(&mut rows, "straggler", parameters::straggler::PARAMETERS);
    rows
}

fn write_rows<T: Default>(rows: &mut String, function: &str, table: &[Parameter<T>]) {
    let defaults = T::default();
    for parameter in table {
        let Parameter { name, description, unit, min, max, .. } = parameter;
        let default = parameter.value(&defaults);
        let unit = unit.name;
        let space = if unit.is_empty() { "" } else { " " };
        // Writing to a string does not fail.
        let _ = writeln!(
            rows,
            "| {function} | `{name}` | {default}{space}{unit} | {min} to {max} | {description} |"
        );
    }
}
