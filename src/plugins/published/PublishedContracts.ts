/**
 * The contracts in force, indexed by customer and by API key hash.
 */
import {
  checkContractText,
  hashApiKey,
  ServingError,
  type ContractFault,
  type CustomerId,
  type PublishedRecord,
} from '../../core';
import type { Log } from '../../kernel';
import {
  ContractStore,
  type ContractInForce,
  type PublishedState,
  type RejectedContract,
} from '../../services';

const PREFIX = 'contracts/';

/** @internal */
export class PublishedContracts extends ContractStore {
  private readonly inForce = new Map<string, ContractInForce>();

  private readonly customersByKeyHash = new Map<string, string>();

  private readonly rejected = new Map<string, RejectedContract>();

  constructor(
    published: PublishedState,
    private readonly log: Log,
  ) {
    super();
    published.onChange(PREFIX, (record) => this.apply(record));
  }

  find(customer: CustomerId): ContractInForce | undefined {
    return this.inForce.get(customer);
  }

  authenticate(apiKey: string | undefined): ContractInForce {
    const customer = apiKey && this.customersByKeyHash.get(hashApiKey(apiKey));
    const contract = customer ? this.inForce.get(customer) : undefined;
    if (!contract) throw new ServingError('unknown-key', { detail: 'Unauthorized.' });
    return contract;
  }

  listRejected(): ReadonlyArray<RejectedContract> {
    return [...this.rejected.values()];
  }

  countInForce(): number {
    return this.inForce.size;
  }

  private apply(record: PublishedRecord): void {
    const customer = record.key.slice(PREFIX.length);
    this.rejected.delete(customer);
    if (record.body === null) {
      this.remove(customer, record.revision);
      return;
    }
    if (this.accept(customer, record.revision, record.body)) return;
    if (record.lastGood) this.accept(customer, record.lastGood.revision, record.lastGood.body);
    this.reject(customer, record.revision, record.body);
  }

  private accept(customer: string, revision: number, body: string): boolean {
    const result = checkContractText(body);
    if (!result.accepted || result.contract.customer !== customer) return false;
    this.removeKeys(customer);
    this.inForce.set(customer, { contract: result.contract, revision });
    result.contract.keyHashes.forEach((hash) => this.customersByKeyHash.set(hash, customer));
    this.log.info('contract in force', { customer, contractRevision: revision });
    return true;
  }

  private reject(customer: string, revision: number, body: string): void {
    const result = checkContractText(body);
    const faults: ReadonlyArray<ContractFault> = result.accepted
      ? [{ path: 'customer', message: `differs from the key ${PREFIX}${customer}` }]
      : result.faults;
    const revisionInForce = this.inForce.get(customer)?.revision;
    this.rejected.set(customer, { customer, revision, revisionInForce, faults });
    this.log.warn('contract refused', {
      customer,
      contractRevision: revision,
      revisionInForce,
      faults,
    });
  }

  private remove(customer: string, revision: number): void {
    this.removeKeys(customer);
    this.inForce.delete(customer);
    this.log.info('contract removed', { customer, contractRevision: revision });
  }

  private removeKeys(customer: string): void {
    this.inForce
      .get(customer)
      ?.contract.keyHashes.filter((hash) => this.customersByKeyHash.get(hash) === customer)
      .forEach((hash) => this.customersByKeyHash.delete(hash));
  }
}
