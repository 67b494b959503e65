/** What request handling asks of the customers' shares of the room at the engines. */

export interface CustomerShares {
    /**
     * Whether a request of the customer may take room as one of its rank. False means that room is short and the customer
     * over its fair share of it: the request then counts as of the least urgent rank, and is still served when room is free.
     * Asked once for each request, since each call counts against the share; requests without a customer form one group.
     */
    mayTakeRoom(service: string, customer: string | undefined, tokens: number): boolean;
}

/** Baseline: no shares. */
export class UnlimitedCustomers implements CustomerShares {
    mayTakeRoom(): boolean {
        return true;
    }
}
