/** Interfaces that an adapter implements to run a gateway on a given platform. */
import type { Dialect } from "../../domain/gateway/dialect.js";
import type { MetadataStore } from "../../domain/gateway/metadata-store.js";
import type { StoreLayout } from "../../domain/gateway/store-layout.js";
import type { StoreEra } from "../../process/gateway/store-era.js";

export interface GatewayPlatform {
    readonly store: MetadataStore;
    /** Told of every answer of the store. */
    readonly storeEra: StoreEra;
    readonly layout: StoreLayout;
    readonly dialect: Dialect;
}
