"""Events, error budgets and reports for operators."""
