"""Steps for the model of flow resets."""

from behave import then
from specs.flow_resets import check


@then("the flow resets model holds with all mechanisms")
def then_holds(context):
    result = check()
    assert result["exhaustive"]
    assert result["properties"]["no_live_server_reset"]["holds"] is True, result


@then("the flow resets model fails without {mechanism}")
def then_fails(context, mechanism):
    result = check(**{mechanism: False})["properties"]["no_live_server_reset"]
    assert result["holds"] is False
    assert result["counterexample"]
