package measurer

func budgetSlopes(*Report) {}
