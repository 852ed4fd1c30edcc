"""Steps for the capacity model."""

import math
import re
from dataclasses import fields, replace
from pathlib import Path

from behave import given, then, when

from hornbeamdeal import capacity
from hornbeamdeal.capacity._formula import Evaluator
from hornbeamdeal.capacity._model import ALL_SPECS_BY_ROLE, ALTERNATIVES_BY_ROLE

DOCS = Path(__file__).resolve().parents[2] / "docs"
SIZES = (1, 5, 9, 40)
COMMAND = "hornbeamdeal-load slopes"
# Where the design page words a figure in another way than as the plain number.
WORDS_BY_FIGURE = {
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
        context.slope = capacity.fit("tested", "things", "B", points)
    except ValueError as error:
        context.slope = error


@when("a capacity line of {slope:g} for each size and {base:g} at none is fitted")
def when_line(context, slope, base):
    fit_points(context, [(size, base + slope * size) for size in SIZES])


@when("capacity points of a square are fitted")
def when_square(context):
    fit_points(context, [(size, size * size) for size in SIZES])


@when("two capacity points are fitted")
def when_two(context):
    fit_points(context, [(1, 2), (2, 4)])


@then("the capacity fit has slope {slope:g}, base {base:g} and no residual")
def then_line(context, slope, base):
    assert math.isclose(context.slope.slope, slope, abs_tol=1e-9), context.slope
    assert math.isclose(context.slope.intercept, base, rel_tol=1e-9), context.slope
    assert context.slope.residual < 1e-9, context.slope


@then("the capacity fit has a residual above 5 percent")
def then_residual(context):
    assert context.slope.residual > 0.05, context.slope


@then("the capacity fit is refused")
def then_fit_refused(context):
    assert isinstance(context.slope, ValueError)


@when('the capacity formula "{formula}" is evaluated')
def when_formula(context, formula):
    try:
        context.value = Evaluator({"regions": 7.0}, {}).evaluate(formula)
    except ValueError as error:
        context.value = error


@then("the capacity formula is refused")
def then_formula_refused(context):
    assert isinstance(context.value, ValueError), context.value


@when("a quick capacity run measures the slopes")
def when_quick(context):
    context.measured = capacity.measure_slopes(quick=True)


@then("the capacity run has a finite slope for each name in the formulas")
def then_all_slopes(context):
    names = [slope.name for slope in context.measured]
    assert len(names) == len(set(names)), names
    assert capacity.slopes_needed() <= set(names), capacity.slopes_needed() - set(names)
    for slope in context.measured:
        costs = [cost for _, cost in slope.points]
        assert len(costs) >= 3, slope
        figures = (*costs, slope.slope, slope.intercept, slope.residual)
        assert all(map(math.isfinite, figures)), slope


@then("the capacity run comes back unchanged from its JSON")
def then_json(context):
    _, slopes = capacity.from_json(capacity.to_json(context.measured))
    assert list(slopes.values()) == context.measured


@given("the capacity page and its committed slopes")
def given_page(context):
    context.page = (DOCS / "CAPACITY.md").read_text()
    path = DOCS / "capacity-slopes.json"
    context.machine, context.slopes = capacity.read_slopes(path)


@then("the capacity page equals the page rendered anew")
def then_equal(context):
    rendered = capacity.render_page(context.page, context.machine, context.slopes)
    assert rendered == context.page, "run: hornbeamdeal-load tables"


@then("the capacity page has every table once")
def then_tables(context):
    names = re.findall(r"<!-- table: (.+?) -->", context.page)
    wanted = [*ALL_SPECS_BY_ROLE, "over", "doubled", "slopes", "assumptions"]
    assert sorted(names) == sorted([*wanted, "quantities", "machine"]), names
    assert set(names) == capacity.table_names(context.page)


@then("the capacity page names the command that measured its slopes")
def then_command(context):
    assert COMMAND in context.page


@then("each capacity target figure is named on the design page")
def then_named(context):
    design = (DOCS / "design.md").read_text()
    for field in fields(capacity.Target):
        number = getattr(capacity.Target(), field.name)
        text = WORDS_BY_FIGURE.get(field.name, f"{number:,.0f}")
        assert text in design, (field.name, text)
        digits = re.search(r"\d[\d.]*", text.replace(",", ""))
        if digits:
            exponent = math.log10(number / float(digits[0]))
            assert abs(exponent - round(exponent)) < 1e-9, field.name


@then("a change of any capacity target figure changes a line")
def then_sensitive(context):
    target = capacity.Target()
    lines = capacity.lines_at(context.slopes, target)
    for field in fields(target):
        other = replace(target, **{field.name: 1.5 * getattr(target, field.name)})
        assert capacity.lines_at(context.slopes, other) != lines, field.name


@then("each capacity line over its limit has a remedy")
def then_remedies(context):
    lines = capacity.lines_at(context.slopes)
    missing = [
        line.spec.quantity for line in capacity.over(lines) if not line.spec.remedy
    ]
    assert not missing, missing


@then("each design that was ruled out is over a capacity limit")
def then_alternatives(context):
    lines = capacity.lines_at(context.slopes)
    ruled_out = [line for line in lines if line.role in ALTERNATIVES_BY_ROLE]
    designs = {line.spec.quantity.split(":")[0] for line in ruled_out}
    is_over = {line.spec.quantity.split(":")[0] for line in ruled_out if line.is_over}
    assert len(designs) == 4 and designs == is_over, designs - is_over


@then('the capacity line "{quantity}" is about {value:g} for all fits of {cost:g}')
def then_by_hand(context, quantity, value, cost):
    """Give every slope one constant cost, so that a line can be computed by hand."""
    slopes = {
        name: capacity.fit(name, "", "", [(1, cost), (2, cost), (3, cost)])
        for name in capacity.slopes_needed()
    }
    lines = capacity.lines_at(slopes)
    (line,) = [line for line in lines if line.spec.quantity == quantity]
    assert math.isclose(line.value, value, rel_tol=0.001), line.value
