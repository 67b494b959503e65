/** How the configuration store hears of versions from other routers, and reads them. */
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

/** Peers that are asked when a router looks for a version. */
const askedPeers = 8;
/** Calls under way at the same time when all routers are asked. */
const parallelCalls = 32;

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
        const addresses = peers.length > 0 ? peers : await this.membership.seeds.candidates();
        const asked = addresses.slice(0, askedPeers);
        const answers = await Promise.all(asked.map(address => this.ask(address, timeoutMilliseconds)));
        return answers.filter(answer => answer !== undefined);
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

    /** Asks every router over short-lived connections; the cost grows with the fleet, so it is for operators only. */
    async read(timeoutMilliseconds: number): Promise<readonly VersionConfirmation[]> {
        const waiting = [...this.membership.view.table.presentMembers()];
        const confirmations: VersionConfirmation[] = [];
        const work = async () => {
            for (let member = waiting.pop(); member !== undefined; member = waiting.pop()) {
                confirmations.push(await this.confirm(member, timeoutMilliseconds));
            }
        };
        await Promise.all(Array.from({ length: parallelCalls }, work));
        return confirmations;
    }

    private async confirm(member: RouterMember, timeoutMilliseconds: number): Promise<VersionConfirmation> {
        const { id, location } = member;
        const version = id === this.membership.self.id
            ? this.membership.self.configurationVersion
            : (await this.ask(member.address, timeoutMilliseconds))?.version ?? 0;
        return { routerId: id, availabilityZone: location.availabilityZone, version };
    }

    private async ask(address: string, timeoutMilliseconds: number): Promise<VersionAnnouncement | undefined> {
        try {
            const message = this.membership.view.createMessage([]);
            const reply = await this.transport.gossip(address, message, timeoutMilliseconds);
            this.membership.view.settle(message, reply);
            return { routerId: reply.senderId, version: reply.configurationVersion };
        }
        catch {
            return undefined;
        }
    }
}
