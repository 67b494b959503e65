/** Forwards booking ledger operations to the routers that usually write the shards concerned. */
import type { LedgerOperation, LedgerPeers, LedgerResult } from "../../domain/booking-ledger.js";
import type { Fleet } from "../../domain/fleet.js";
import { PeerUnreachableError } from "../../errors/index.js";
import type { PeerClient } from "./peer-client.js";

export class PeerLedgerClient implements LedgerPeers {
    constructor(private readonly fleet: Fleet, private readonly client: PeerClient) {}

    /** Rejects with a PeerUnreachableError if the router is unknown, refuses the call or does not answer in time. */
    async submit(routerId: string, operation: LedgerOperation, timeoutMilliseconds: number): Promise<LedgerResult> {
        const member = this.fleet.members().find(each => each.id === routerId);
        if (member === undefined) {
            throw new PeerUnreachableError(routerId);
        }
        return this.client.submitBooking(member.address, operation, timeoutMilliseconds);
    }
}
