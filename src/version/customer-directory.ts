/** Authenticates customers by their keys. */
import { hashKey, keyMatches, parseBearerKey } from "../common/credentials.js";
import type { Configuration, Customer } from "../domain/configuration.js";
import { UnauthorizedError } from "../errors/index.js";

interface DirectoryEntry {
    readonly hash: string;
    readonly customer: Customer;
}

/** The customers of one configuration version, by the SHA-256 hashes of their keys. */
export class CustomerDirectory {
    // The time of a lookup depends only on the hash, so that it reveals nothing about the key.
    private readonly entriesByKeyHash = new Map<string, DirectoryEntry>();

    constructor(configuration: Configuration) {
        for (const customer of configuration.customers.values()) {
            for (const hash of customer.keyHashes) {
                this.entriesByKeyHash.set(hash, { hash, customer });
            }
        }
    }

    /**
     * Returns the customer whose key the Authorization header carries. Throws UnauthorizedError if the key is missing
     * or unknown.
     */
    authenticate(header: string | undefined): Customer {
        const key = parseBearerKey(header);
        const entry = key === undefined ? undefined : this.entriesByKeyHash.get(hashKey(key));
        if (key === undefined || entry === undefined || !keyMatches(key, entry.hash)) {
            throw new UnauthorizedError();
        }
        return entry.customer;
    }
}
