//! The tables of parameters: defaults are in range, and each parameter reads the field that it sets.

use linnethook_operator_config::parameters::{audit, cluster, gateway, hierarchy, straggler, Parameter};

#[test]
fn every_default_is_in_range_and_every_parameter_reads_the_field_that_it_sets() {
    check(hierarchy::PARAMETERS);
    check(gateway::PARAMETERS);
    check(cluster::PARAMETERS);
    check(audit::PARAMETERS);
    check(straggler::PARAMETERS);
}

fn check<T: Default>(table: &[Parameter<T>]) {
    for parameter in table {
        let mut target = T::default();
        let default = parameter.value(&target);
        assert!(parameter.range().contains(&default), "{}: {default}", parameter.name);
        (parameter.set)(&mut target, parameter.max * parameter.unit.scale);
        let value = parameter.value(&target);
        assert!((value - parameter.max).abs() < 1e-6 * parameter.max, "{}", parameter.name);
    }
}
