"""Steps for the capacity model."""

import math
import re
from dataclasses import fields, replace
from pathlib import Path

from behave import given, then, when

from hornbeamdeal import capacity
from hornbeamdeal.capacity._formula import FormulaEvaluator
from hornbeamdeal.capacity._model import ALL_SPECS_BY_SECTION, ALTERNATIVES_BY_SECTION

DOCS = Path(__file__).resolve().parents[2] / "docs"
SIZES = (1, 5, 9, 40)
COMMAND = "hornbeamdeal-load slopes"
# Texts of the design page for the figures that it does not give as plain numbers.
TEXTS_BY_FIGURE = {
    "open_flows": "16 million",
    "new_flows": "180,000",
    "change_limit": "within 3 s",
    "control_cpu": "1.1%",
    "control_memory": "64 MB",
    "control_bytes": "26 KB/s",
    "regions": "7 regions",
    "zones": "18 availability zones",
    "failures_a_day": "32 host failures",
    "platform_value": "1 MB",
    "rack_losses_a_year": "rack or switch weekly",
    "zone_losses_a_year": "zone every other month",
}


def fit_points(context, points):
    try:
        context.slope = capacity.fit_slope("tested", "items", "B", points)
    except ValueError as error:
        context.slope = error


@when("capacity points with slope {slope:g} and intercept {intercept:g} are fitted")
def when_linear(context, slope, intercept):
    fit_points(context, [(size, intercept + slope * size) for size in SIZES])


@when("capacity points of a quadratic cost are fitted")
def when_quadratic(context):
    fit_points(context, [(size, size * size) for size in SIZES])


@when("two capacity points are fitted")
def when_two(context):
    fit_points(context, [(1, 2), (2, 4)])


@then("the capacity fit has slope {slope:g}, intercept {intercept:g} and no residual")
def then_linear(context, slope, intercept):
    assert math.isclose(context.slope.slope, slope, abs_tol=1e-9), context.slope
    assert math.isclose(context.slope.intercept, intercept, rel_tol=1e-9), context.slope
    assert context.slope.residual < 1e-9, context.slope


@then("the capacity fit has a residual above 5 percent")
def then_residual(context):
    assert context.slope.residual > 0.05, context.slope


@then("the capacity fit is rejected")
def then_fit_rejected(context):
    assert isinstance(context.slope, ValueError)


@when('the capacity formula "{formula}" is evaluated')
def when_formula(context, formula):
    try:
        context.value = FormulaEvaluator({"regions": 7.0}, {}).evaluate(formula)
    except ValueError as error:
        context.value = error


@then("the capacity formula is rejected")
def then_formula_rejected(context):
    assert isinstance(context.value, ValueError), context.value


@when("the capacity slopes are measured with quick sizes")
def when_quick(context):
    context.measured = capacity.measure_slopes(quick=True)


@then("each slope in the capacity formulas was measured and is finite")
def then_all_slopes(context):
    names = [slope.name for slope in context.measured]
    assert len(names) == len(set(names)), names
    assert capacity.required_slope_names() <= set(names), (
        capacity.required_slope_names() - set(names)
    )
    for slope in context.measured:
        costs = [cost for _, cost in slope.points]
        assert len(costs) >= 3, slope
        figures = (*costs, slope.slope, slope.intercept, slope.residual)
        assert all(map(math.isfinite, figures)), slope


@then("the capacity slopes are equal after a round trip through JSON")
def then_json(context):
    _, slopes = capacity.from_json(capacity.to_json(context.measured))
    assert list(slopes.values()) == context.measured


@given("the capacity page and its committed file of slopes")
def given_page(context):
    context.page = (DOCS / "CAPACITY.md").read_text()
    path = DOCS / "capacity-slopes.json"
    context.machine, context.slopes = capacity.read_slopes(path)


@then("rendering the capacity page again does not change it")
def then_unchanged(context):
    rendered = capacity.render_page(context.page, context.machine, context.slopes)
    assert rendered == context.page, "run: hornbeamdeal-load tables"


@then("the capacity page has each table exactly once")
def then_tables(context):
    names = re.findall(r"<!-- table: (.+?) -->", context.page)
    expected = [*ALL_SPECS_BY_SECTION, "over", "doubled", "slopes", "assumptions"]
    assert sorted(names) == sorted([*expected, "quantities", "machine"]), names
    assert set(names) == capacity.table_names(context.page)


@then("the capacity page names the command that measured its slopes")
def then_command(context):
    assert COMMAND in context.page


@then("each capacity target figure stands on the design page")
def then_on_design_page(context):
    design = (DOCS / "design.md").read_text()
    for field in fields(capacity.DesignTarget):
        number = getattr(capacity.DesignTarget(), field.name)
        text = TEXTS_BY_FIGURE.get(field.name, f"{number:,.0f}")
        assert text in design, (field.name, text)
        digits = re.search(r"\d[\d.]*", text.replace(",", ""))
        if digits:
            exponent = math.log10(number / float(digits[0]))
            assert abs(exponent - round(exponent)) < 1e-9, field.name


@then("a change of any capacity target figure changes an estimate")
def then_sensitive(context):
    target = capacity.DesignTarget()
    estimates = capacity.compute_estimates(context.slopes, target)
    for field in fields(target):
        other = replace(target, **{field.name: 1.5 * getattr(target, field.name)})
        assert capacity.compute_estimates(context.slopes, other) != estimates, (
            field.name
        )


@then("each capacity estimate over its limit has a remedy")
def then_remedies(context):
    estimates = capacity.compute_estimates(context.slopes)
    missing = [
        estimate.spec.quantity
        for estimate in capacity.over_limit(estimates)
        if not estimate.spec.remedy
    ]
    assert not missing, missing


@then("each alternative design is over a capacity limit")
def then_alternatives(context):
    estimates = capacity.compute_estimates(context.slopes)
    alternatives = [e for e in estimates if e.section in ALTERNATIVES_BY_SECTION]
    designs = {e.spec.quantity.split(":")[0] for e in alternatives}
    over_limit = {
        e.spec.quantity.split(":")[0] for e in alternatives if e.is_over_limit
    }
    assert len(designs) == 4 and designs == over_limit, designs - over_limit


@then('the capacity estimate "{quantity}" is about {value:g} if all costs are {cost:g}')
def then_by_hand(context, quantity, value, cost):
    """Give each slope the same constant cost, so that the value is known by hand."""
    slopes = {
        name: capacity.fit_slope(name, "", "", [(1, cost), (2, cost), (3, cost)])
        for name in capacity.required_slope_names()
    }
    estimates = capacity.compute_estimates(slopes)
    (estimate,) = [e for e in estimates if e.spec.quantity == quantity]
    assert math.isclose(estimate.value, value, rel_tol=0.001), estimate.value
