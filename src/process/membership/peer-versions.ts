/** Gives the configuration store access to the configuration versions of other routers. */
import type { RouterMember } from "../../domain/fleet.js";
import type {
    FleetVersions,
    StoredVersion,
    VersionAnnouncement,
    VersionConfirmation,
    VersionExchange,
} from "../../domain/version-exchange.js";
import { PeerUnreachableError } from "../../errors/index.js";
import type { Membership } from "./membership.js";
import type { PeerTransport } from "./types.js";

/** Maximum number of peers that one call queries for their configuration version. */
const maximumQueriedPeers = 8;
/** Maximum number of concurrent calls while every router is queried. */
const maximumParallelCalls = 32;

export class PeerVersions implements VersionExchange, FleetVersions {
    constructor(private readonly membership: Membership, private readonly transport: PeerTransport) {}

    announce(version: number): void {
        this.membership.view.announce(version);
    }

    highestAnnounced(): VersionAnnouncement | undefined {
        return this.membership.view.highestAnnounced();
    }

    onAnnouncement(listener: (announcement: VersionAnnouncement) => void): () => void {
        return this.membership.onAnnouncement(listener);
    }

    async queryPeerVersions(timeoutMilliseconds: number): Promise<readonly VersionAnnouncement[]> {
        const peers = this.membership.peers().map(peer => peer.address);
        const addresses = peers.length > 0 ? peers : await this.membership.seedFinder.candidates();
        const queried = addresses.slice(0, maximumQueriedPeers);
        const announcements = await Promise.all(
            queried.map(address => this.queryVersion(address, timeoutMilliseconds)),
        );
        return announcements.filter(announcement => announcement !== undefined);
    }

    async readVersion(
        routerId: string,
        minimumVersion: number,
        timeoutMilliseconds: number,
    ): Promise<StoredVersion | undefined> {
        const member = this.membership.view.table.get(routerId);
        if (member === undefined) {
            throw new PeerUnreachableError(routerId);
        }
        return this.transport.readVersion(member.address, minimumVersion, timeoutMilliseconds);
    }

    /** Queries every router over short-lived connections. The cost grows with the fleet; for operators' calls only. */
    async read(timeoutMilliseconds: number): Promise<readonly VersionConfirmation[]> {
        const remaining = [...this.membership.view.table.presentMembers()];
        const confirmations: VersionConfirmation[] = [];
        const confirmRemaining = async () => {
            for (let member = remaining.pop(); member !== undefined; member = remaining.pop()) {
                confirmations.push(await this.confirm(member, timeoutMilliseconds));
            }
        };
        await Promise.all(Array.from({ length: maximumParallelCalls }, confirmRemaining));
        return confirmations;
    }

    private async confirm(member: RouterMember, timeoutMilliseconds: number): Promise<VersionConfirmation> {
        const { id, location } = member;
        const version = id === this.membership.self.id
            ? this.membership.self.configurationVersion
            : (await this.queryVersion(member.address, timeoutMilliseconds))?.version ?? 0;
        return { routerId: id, availabilityZone: location.availabilityZone, version };
    }

    private async queryVersion(address: string, timeoutMilliseconds: number): Promise<VersionAnnouncement | undefined> {
        try {
            const message = this.membership.view.createMessage([]);
            const reply = await this.transport.gossip(address, message, timeoutMilliseconds);
            this.membership.view.handleReply(message, reply);
            return { routerId: reply.senderId, version: reply.configurationVersion };
        }
        catch {
            return undefined;
        }
    }
}
