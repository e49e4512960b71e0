package proof
