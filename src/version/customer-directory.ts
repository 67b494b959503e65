/** Finds the customer of a key. Keys are known only by their SHA-256 and compared in constant time. */
import { createHash, timingSafeEqual } from "node:crypto";
import type { Configuration, Customer } from "../domain/configuration.js";
import { UnauthorizedError } from "../errors/index.js";

const bearerPattern = /^Bearer ([^\s]{1,512})$/i;

/** SHA-256 of a key, in hexadecimal, as the sheet holds it. */
export function hashKey(key: string): string {
    return createHash("sha256").update(key).digest("hex");
}

/** The key in an Authorization header, or undefined. */
export function bearerKey(header: string | undefined): string | undefined {
    return header === undefined ? undefined : bearerPattern.exec(header)?.[1];
}

/** Whether the key has the given hash, compared in constant time. */
export function keyMatches(key: string, hash: string): boolean {
    const actual = Buffer.from(hashKey(key), "hex");
    const expected = Buffer.from(hash, "hex");
    return actual.length === expected.length && timingSafeEqual(actual, expected);
}

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
        const key = bearerKey(header);
        const entry = key === undefined ? undefined : this.byHash.get(hashKey(key));
        if (key === undefined || entry === undefined || !keyMatches(key, entry.hash)) {
            throw new UnauthorizedError();
        }
        return entry.customer;
    }
}
