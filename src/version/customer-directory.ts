/** Finds the customer of a key. */
import { hashKey, keyMatches, parseBearerKey } from "../common/credentials.js";
import type { Configuration, Customer } from "../domain/configuration.js";
import { UnauthorizedError } from "../errors/index.js";

interface DirectoryEntry {
    readonly hash: string;
    readonly customer: Customer;
}

/** The customers of one version, by key. */
export class CustomerDirectory {
    // The lookup's time depends on the hash only, which tells nothing of the key.
    private readonly byHash = new Map<string, DirectoryEntry>();

    constructor(configuration: Configuration) {
        for (const customer of configuration.customers.values()) {
            for (const hash of customer.keyHashes) {
                this.byHash.set(hash, { hash, customer });
            }
        }
    }

    /** The customer that the header names. Throws UnauthorizedError. */
    authenticate(header: string | undefined): Customer {
        const key = parseBearerKey(header);
        const entry = key === undefined ? undefined : this.byHash.get(hashKey(key));
        if (key === undefined || entry === undefined || !keyMatches(key, entry.hash)) {
            throw new UnauthorizedError();
        }
        return entry.customer;
    }
}
