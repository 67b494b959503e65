/** The fleet of a router that has no peers. */
import type { BackendServerNotice, Fleet, RouterMember } from "../domain/fleet.js";
import type { StoredVersion, VersionAnnouncement, VersionExchange } from "../domain/version-exchange.js";

export class SoloFleet implements Fleet, VersionExchange {
    private readonly demands = new Map<string, number>();

    constructor(readonly self: RouterMember) {}

    members(): readonly RouterMember[] {
        return [this.self];
    }

    publishNotice(): void {}

    onNotice(_listener: (notice: BackendServerNotice) => void): () => void {
        return () => undefined;
    }

    reportDemand(customer: string, tokensPerSecond: number): void {
        this.demands.set(customer, tokensPerSecond);
    }

    fleetDemand(customer: string): number {
        return this.demands.get(customer) ?? 0;
    }

    announce(): void {}

    highestAnnounced(): VersionAnnouncement | undefined {
        return undefined;
    }

    onAnnouncement(): () => void {
        return () => undefined;
    }

    async askPeers(): Promise<readonly VersionAnnouncement[]> {
        return [];
    }

    async readVersion(): Promise<StoredVersion | undefined> {
        return undefined;
    }
}
