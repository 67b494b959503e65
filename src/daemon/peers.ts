/** Composes the components that communicate with other routers. */
import type { LifeCycle } from "../common/life-cycle.js";
import type { Logger } from "../common/logger.js";
import type { Metrics } from "../common/metrics.js";
import type { RandomSource } from "../common/random.js";
import {
    type BookingHandler,
    CertificateSource,
    PeerClient,
    PeerLedgerClient,
    PeerServer,
} from "../connection/router/index.js";
import type { VmList } from "../domain/platform.js";
import { Membership, PeerVersions } from "../process/membership/index.js";
import type { RouterSettings } from "../process/settings/schema.js";

export interface PeerComponentsOptions {
    readonly settings: RouterSettings;
    readonly vmList: VmList;
    readonly random: RandomSource;
    readonly logger: Logger;
    readonly metrics: Metrics;
}

export class PeerComponents {
    readonly membership: Membership;
    readonly versions: PeerVersions;
    readonly ledger: PeerLedgerClient;

    private constructor(
        private readonly certificates: CertificateSource | undefined,
        private readonly server: PeerServer,
        private readonly client: PeerClient,
        options: PeerComponentsOptions,
    ) {
        const { settings, logger, vmList, random, metrics } = options;
        const { id, region, availabilityZone } = settings.router;
        this.membership = new Membership(
            { id, address: server.address, location: { region, availabilityZone }, seeds: settings.peers.seeds },
            { transport: client, vmList, random, logger: logger.withLabel("membership"), metrics },
        );
        this.versions = new PeerVersions(this.membership, client);
        this.ledger = new PeerLedgerClient(this.membership, client);
    }

    /** Starts listening before the components are created, because a router announces its listening address to its peers. */
    static async listen(options: PeerComponentsOptions): Promise<PeerComponents> {
        const { host, port, tls } = options.settings.peers;
        const certificates = tls === undefined
            ? undefined
            : new CertificateSource(tls, options.logger.withLabel("certificates"));
        const server = new PeerServer({ host, port, certificates });
        await server.start();
        return new PeerComponents(certificates, server, new PeerClient(certificates), options);
    }

    /** Sets the handler for booking ledger operations that other routers forward to this one. */
    setBookingHandler(handler: BookingHandler): void {
        this.server.setBookingHandler(handler);
    }

    /** Adds the components in the order in which they must start. */
    addTo(lifeCycle: LifeCycle): void {
        if (this.certificates !== undefined) {
            lifeCycle.add(this.certificates);
        }
        lifeCycle.add({
            name: this.server.name,
            start: async () => this.server.setPeerHandler(this.membership),
            stop: () => this.server.stop(),
        });
        lifeCycle.add(this.client);
        lifeCycle.add(this.membership);
    }
}
